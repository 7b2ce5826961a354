import { copyService } from "./copy-service.js";
import type { Mutable } from "./mutable.js";
import type { RequestState } from "./request-state.js";
import type { RoutingEffect } from "./routing-effect.js";
import type { RoutingState } from "./routing-state.js";
import type { ServiceState } from "./service-state.js";

const GOLDEN_RATIO_CONJUGATE = 0.618_033_988_749_895;

/** Mutable draft of the parts of the state that one event changes. The base state is never modified. */
export class RoutingDraft {
    readonly base: RoutingState;
    readonly atMs: number;
    readonly effects: RoutingEffect[] = [];
    addressServices: ReadonlyMap<string, string>;
    vmListAsOfMs: number | undefined;
    private readonly services = new Map<string, Mutable<ServiceState>>();
    private readonly requests = new Map<string, RequestState | undefined>();
    private random: number;

    constructor(base: RoutingState, opts: { readonly atMs: number; readonly random: number; }) {
        this.base = base;
        this.atMs = opts.atMs;
        this.random = opts.random;
        this.addressServices = base.addressServices;
        this.vmListAsOfMs = base.vmListAsOfMs;
    }

    /** Returns a mutable copy of a service. */
    service(name: string): Mutable<ServiceState> | undefined {
        const edited = this.services.get(name);
        if (edited !== undefined) {
            return edited;
        }
        const index = this.base.serviceIndexes.get(name);
        const found = index === undefined ? undefined : this.base.services[index];
        if (found === undefined) {
            return undefined;
        }
        const copy = copyService(found, { revision: this.base.revision + 1 });
        this.services.set(name, copy);
        return copy;
    }

    addService(service: ServiceState): void {
        this.services.set(service.name, { ...service, revision: this.base.revision + 1 });
    }

    request(requestId: string): RequestState | undefined {
        if (this.requests.has(requestId)) {
            return this.requests.get(requestId);
        }
        return this.base.requests.get(requestId);
    }

    setRequest(request: RequestState): void {
        this.requests.set(request.requestId, request);
    }

    removeRequest(requestId: string): void {
        this.requests.set(requestId, undefined);
    }

    emit(effect: RoutingEffect): void {
        this.effects.push(effect);
    }

    /** Returns the next number in [0, 1), derived from the random number of the event. */
    nextRandom(): number {
        const value = this.random;
        this.random = (value + GOLDEN_RATIO_CONJUGATE) % 1;
        return value;
    }

    /** Returns the new state. `wakeAtMs` can only decrease here; a tick recomputes it. */
    commit(): RoutingState {
        let wakeAtMs = this.base.wakeAtMs;
        const services = this.services.size === 0 ? this.base.services : this.base.services.slice();
        let serviceIndexes = this.base.serviceIndexes;
        for (const [name, service] of this.services) {
            const index = serviceIndexes.get(name) ?? services.length;
            if (index === services.length) {
                serviceIndexes = new Map(serviceIndexes).set(name, index);
            }
            (services as ServiceState[])[index] = service;
            wakeAtMs = Math.min(wakeAtMs, service.wakeAtMs);
        }
        let { requests } = this.base;
        for (const [requestId, request] of this.requests) {
            requests = request === undefined ? requests.without(requestId) : requests.with(request);
        }
        // Copying field by field is faster than a spread; see `copyService`.
        return {
            vmId: this.base.vmId,
            availabilityZone: this.base.availabilityZone,
            policy: this.base.policy,
            revision: this.base.revision + 1,
            services,
            serviceIndexes,
            requests,
            addressServices: this.addressServices,
            vmListAsOfMs: this.vmListAsOfMs,
            wakeAtMs,
        };
    }
}
