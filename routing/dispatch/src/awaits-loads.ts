import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";

/** Whether the hub's answer to a load query is still worth waiting for. */
export const awaitsLoads = (draft: DispatchDraft, service: DispatchService): boolean =>
    draft.state.loadQueryIntervalMs !== undefined
    && service.loadsQueriedAtMs > service.loadsAnsweredAtMs
    && draft.atMs - service.loadsQueriedAtMs < DISPATCH_LIMITS.loadAnswerTimeoutMs;
