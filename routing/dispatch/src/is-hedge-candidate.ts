import type { ServerEstimate } from "./server-estimate.js";

/**
 * Whether a server may get a hedge. One that is cold, limited, ejected or unhealthy is left to first attempts, and so is
 * the last free slot of any.
 */
export const isHedgeCandidate = ({ server, takesLastSlot }: ServerEstimate, atMs: number): boolean =>
    !takesLastSlot && server.coldUntilMs <= atMs && server.requestLimit.perSecond === undefined
    && server.ejectedUntilMs <= atMs && !server.isUnhealthy;
