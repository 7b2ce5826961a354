import type { BackendServer } from "@marigoldstall/core.types";
import type { DispatchDraft } from "./dispatch-draft.js";

/** Checks on a new connection whether a server still runs. */
export const verifyServer = (draft: DispatchDraft, server: BackendServer): void => {
    const { instanceId, address } = server;
    const healthPath = draft.state.configuration?.services.get(server.service)?.healthPath;
    if (healthPath !== undefined) {
        draft.emit({ type: "verify-server", instanceId, askedAtMs: draft.atMs, address, healthPath });
    }
};
