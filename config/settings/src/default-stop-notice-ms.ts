/** Time for the platform's balancer to notice that a daemon is stopping. */
export const DEFAULT_STOP_NOTICE_MS = 5000;
