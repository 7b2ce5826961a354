/** Condition of a backend server that a piece of evidence reports. */
export type EvidenceKind = "leaving" | "silent";
