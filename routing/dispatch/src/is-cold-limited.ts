import type { DispatchState } from "./dispatch-state.js";

/** Whether the servers of a service get a limited number of requests while they are cold. */
export const isColdLimited = (
    { coldBounds, configuration }: Pick<DispatchState, "coldBounds" | "configuration">,
    service: string,
): boolean => coldBounds !== undefined && configuration?.services.get(service)?.coldRequestsPerSecond !== undefined;
