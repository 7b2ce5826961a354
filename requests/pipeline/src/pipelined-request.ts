import type { RequestPhase } from "./request-phase.js";

/** An accepted request whose response has not been written completely. */
export interface PipelinedRequest {
    readonly requestKey: string;
    readonly phase: RequestPhase;
    /**
     * Whether the request was passed on and is idempotent. Its response can be replaced by that of another attempt, so it
     * never closes the connection before the responses to later requests.
     */
    readonly isReplaceable: boolean;
    /** Whether the response can only be the last one of the connection. */
    readonly isLastResponse: boolean;
}
