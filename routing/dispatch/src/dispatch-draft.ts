import type { Transition } from "@marigoldstall/core.types";
import { copyServerState } from "./copy-server-state.js";
import { createService } from "./create-service.js";
import type { DecisionRecord } from "./decision-record.js";
import type { DispatchEffect } from "./dispatch-effect.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import type { DispatchState } from "./dispatch-state.js";
import type { FormerServer } from "./former-server.js";
import { RandomSequence } from "./random-sequence.js";
import type { RequestState } from "./request-state.js";
import { ServerMap } from "./server-map.js";
import type { ServerState } from "./server-state.js";

/** Working copy of the state during one event. Its maps are copied on first write. */
export class DispatchDraft {
    readonly atMs: number;
    readonly effects: DispatchEffect[] = [];
    private current: DispatchState;
    private readonly randomSequence: RandomSequence;
    private readonly copiedMaps = new Set<keyof DispatchState>();
    private readonly copiedServerMaps = new Map<string, ServerMap>();

    constructor(state: DispatchState, opts: { readonly atMs: number; readonly random: number; }) {
        this.current = state;
        this.atMs = opts.atMs;
        this.randomSequence = new RandomSequence(opts.random);
    }

    get state(): DispatchState {
        return this.current;
    }

    update(fields: Partial<DispatchState>): void {
        this.current = { ...this.current, ...fields };
    }

    /** Next value of a pseudo-random sequence that is seeded with the event's random number. */
    nextRandom(): number {
        return this.randomSequence.next();
    }

    service(name: string): DispatchService {
        return this.current.services.get(name) ?? createService(name);
    }

    setService(service: DispatchService): void {
        this.writable("services").set(service.name, service);
    }

    updateService(name: string, fields: Partial<DispatchService>): void {
        this.setService({ ...this.service(name), ...fields });
    }

    server(instanceId: string): ServerState | undefined {
        const service = this.current.servicesByInstance.get(instanceId);
        return service === undefined ? undefined : this.service(service).servers.get(instanceId);
    }

    updateServer(instanceId: string, fields: Partial<ServerState>): void {
        const name = this.current.servicesByInstance.get(instanceId);
        const server = this.server(instanceId);
        if (name !== undefined && server !== undefined) {
            this.setServer(name, Object.assign(copyServerState(server), fields));
        }
    }

    setServer(service: string, server: ServerState): void {
        this.writableServers(service).set(server.server.instanceId, server);
    }

    request(requestKey: string): RequestState | undefined {
        return this.current.requests.get(requestKey);
    }

    setRequest(request: RequestState): void {
        this.writable("requests").set(request.requestKey, request);
    }

    removeRequest(request: RequestState): void {
        const { requestKey, service: name } = request;
        this.writable("requests").delete(requestKey);
        const service = this.service(name);
        const running = new Set(service.running);
        running.delete(requestKey);
        this.setService({ ...service, running, queue: service.queue.filter(key => key !== requestKey) });
    }

    setRequestOfAttempt(attemptId: string, requestKey: string | undefined): void {
        const attempts = this.writable("requestKeysByAttempt");
        if (requestKey === undefined) {
            attempts.delete(attemptId);
        }
        else {
            attempts.set(attemptId, requestKey);
        }
    }

    setServiceOfServer(instanceId: string, service: string | undefined): void {
        const services = this.writable("servicesByInstance");
        if (service === undefined) {
            services.delete(instanceId);
        }
        else {
            services.set(instanceId, service);
        }
    }

    /** Keeps what a server said beyond its registration, and drops what is too old or too much. */
    setFormerServer(former: FormerServer): void {
        const { maxFormerServers, formerServerKeptMs } = DISPATCH_LIMITS;
        const formerServers = this.writable("formerServers");
        formerServers.delete(former.instanceId);
        formerServers.set(former.instanceId, former);
        for (const [instanceId, { updatedAtMs }] of formerServers) {
            if (formerServers.size <= maxFormerServers && this.atMs - updatedAtMs <= formerServerKeptMs) {
                return;
            }
            formerServers.delete(instanceId);
        }
    }

    removeFormerServer(instanceId: string): void {
        if (this.current.formerServers.has(instanceId)) {
            this.writable("formerServers").delete(instanceId);
        }
    }

    setSplitCredits(route: string, credits: readonly number[]): void {
        this.writable("splitCreditsByRoute").set(route, credits);
    }

    emit(effect: DispatchEffect): void {
        this.effects.push(effect);
    }

    log(decision: DecisionRecord): void {
        this.emit({ type: "log-decision", decision });
    }

    finish(): Transition<DispatchState, DispatchEffect> {
        return { state: this.current, effects: this.effects };
    }

    // An event can carry the load reports of many servers, so their map is copied once per event.
    private writableServers(name: string): ServerMap {
        const { servers } = this.service(name);
        const copied = this.copiedServerMaps.get(name);
        if (copied !== undefined && copied === servers) {
            return copied;
        }
        const copy = new ServerMap(servers);
        this.copiedServerMaps.set(name, copy);
        this.updateService(name, { servers: copy });
        return copy;
    }

    private writable<
        Field extends
            | "services"
            | "requests"
            | "requestKeysByAttempt"
            | "servicesByInstance"
            | "formerServers"
            | "splitCreditsByRoute",
    >(field: Field): DispatchState[Field] extends ReadonlyMap<infer Key, infer Value> ? Map<Key, Value> : never {
        if (!this.copiedMaps.has(field)) {
            this.copiedMaps.add(field);
            this.current = { ...this.current, [field]: new Map(this.current[field] as ReadonlyMap<unknown, unknown>) };
        }
        return this.current[field] as never;
    }
}
