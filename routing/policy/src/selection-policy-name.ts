/** Names by which a selection policy is created. */
export type SelectionPolicyName =
    | "random"
    | "round-robin"
    | "least-outstanding"
    | "power-of-two-choices"
    | "slot-aware";
