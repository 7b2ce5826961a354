import type { RequestPhase } from "./request-phase.js";

/** An accepted request whose response has not been written completely. */
export interface PipelinedRequest {
    readonly requestKey: string;
    readonly phase: RequestPhase;
    /** Whether the response can only be the last one of the connection. Known once it is ready. */
    readonly isLastResponse: boolean;
}
