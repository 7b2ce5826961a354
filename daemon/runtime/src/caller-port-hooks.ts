import type { Targets } from "@marigoldstall/core.types";
import type { CallerRequest } from "./caller-request.js";
import type { Rejection } from "./rejection.js";

/** What the caller port asks of the daemon and tells it. */
export interface CallerPortHooks {
    readonly targets: () => Targets | undefined;
    readonly isStopping: () => boolean;
    /** The request can be sent; its body is whole or was found to be too long to buffer. */
    readonly arrived: (request: CallerRequest) => void;
    /** The caller closed the connection before its answer was sent whole. */
    readonly left: (request: CallerRequest) => void;
    readonly rejected: (rejection: Rejection) => void;
}
