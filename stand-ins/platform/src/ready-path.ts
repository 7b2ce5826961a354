/** Path of the readiness endpoint of an entry VM. */
export const READY_PATH = "/api/ready";
