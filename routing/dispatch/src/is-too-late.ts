import type { DispatchService } from "./dispatch-service.js";
import type { RequestState } from "./request-state.js";
import { selectRemainingMs } from "./select-remaining-ms.js";
import { selectWorkMs } from "./select-work-ms.js";

/** Whether a request can no longer be answered in time, so that sending it would only waste a slot and retry budget. */
export const isTooLate = (service: DispatchService, request: RequestState, atMs: number): boolean =>
    selectRemainingMs(request, atMs) <= selectWorkMs(service, request.route) / 2;
