export type SelectionPolicyName =
    | "random"
    | "round-robin"
    | "least-outstanding"
    | "power-of-two-choices"
    | "slot-aware";
