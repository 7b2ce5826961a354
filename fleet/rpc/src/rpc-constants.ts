/** Limits and header names shared by client and server. */
export const RPC = {
    maxBodyBytes: 256 * 1024,
    /** Maximum accepted difference between the wall clocks of client and server. */
    maxClockSkewMs: 30_000,
    timestampHeader: "marigoldstall-timestamp",
    nonceHeader: "marigoldstall-nonce",
    targetHeader: "marigoldstall-target",
    signatureHeader: "marigoldstall-signature",
} as const;
