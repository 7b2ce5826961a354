/** Path at which an entry VM answers whether it takes connections. */
export const READY_PATH = "/api/ready";
