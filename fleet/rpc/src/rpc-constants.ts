/** Limits and header names shared by client and server. */
export const RPC = {
    // The largest record of the store, 256 KB, compressed in vain and in base64, and 8 KB for the rest of the message.
    maxBodyBytes: Math.ceil(256 * 1024 / 3) * 4 + 8 * 1024,
    /** Maximum accepted difference between the wall clocks of client and server. */
    maxClockSkewMs: 30_000,
    timestampHeader: "marigoldstall-timestamp",
    nonceHeader: "marigoldstall-nonce",
    targetHeader: "marigoldstall-target",
    signatureHeader: "marigoldstall-signature",
} as const;
