/** Limits and header names that both sides of a control call share. */
export const RPC = {
    maxBodyBytes: 256 * 1024,
    /** Accepted difference between the clocks of the two sides. */
    maxSkewMs: 30_000,
    timestampHeader: "marigoldstall-timestamp",
    nonceHeader: "marigoldstall-nonce",
    targetHeader: "marigoldstall-target",
    signatureHeader: "marigoldstall-signature",
} as const;
