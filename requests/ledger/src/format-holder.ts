import type { DaemonId } from "@marigoldstall/core.types";

/** Identifies the runner and request to which a key is granted. A grant allows them one send. */
export const formatHolder = (request: { readonly runner: DaemonId; readonly requestId: string; }): string =>
    `${request.runner.vmId}/${request.runner.incarnation}/${request.requestId}`;
