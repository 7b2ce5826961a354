/** What a piece of evidence says about a backend server. */
export type EvidenceKind = "leaving" | "silent";
