import type { Targets } from "@marigoldstall/core.types";
import type { CallerRequest } from "./caller-request.js";
import type { Rejection } from "./rejection.js";

/** Queries and notifications of the caller listener to the daemon. */
export interface CallerListenerHooks {
    readonly targets: () => Targets | undefined;
    readonly isStopping: () => boolean;
    /** Called when a request can be sent: its body is complete or exceeds the limit for buffering. */
    readonly onRequest: (request: CallerRequest) => void;
    /** Called when the caller closes the connection before the response was sent completely. */
    readonly onCallerDisconnected: (request: CallerRequest) => void;
    readonly onRejected: (rejection: Rejection) => void;
}
