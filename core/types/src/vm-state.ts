/** State of a VM as the platform's list reports it. */
export type VmState = "live" | "leaving";
