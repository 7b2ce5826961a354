/** Default time for the platform's load balancer to detect that a daemon is stopping. */
export const DEFAULT_STOP_NOTICE_MS = 5000;
