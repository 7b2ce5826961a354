import type { DaemonId } from "@marigoldstall/core.types";

/** Identity of the one send that a grant allows. */
export const holderKey = (request: { readonly runner: DaemonId; readonly requestId: string; }): string =>
    `${request.runner.vmId}/${request.runner.incarnation}/${request.requestId}`;
