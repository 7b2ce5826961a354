import type { BackendServer } from "@marigoldstall/core.types";
import type { RegistrationChange } from "@marigoldstall/fleet.view";
import { confirmCrashesByRegistration } from "./confirm-crashes-by-registration.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { FormerServer } from "./former-server.js";
import type { ServerState } from "./server-state.js";

const createServer = (
    server: BackendServer,
    opts: {
        readonly atMs: number;
        readonly preference: number;
        readonly isUsed: boolean;
        readonly isLeaving: boolean;
        /** What this start of the server said before its registration lapsed. */
        readonly former: FormerServer | undefined;
    },
): ServerState => ({
    server,
    load: undefined,
    measuredAtMs: -Infinity,
    unreportedSends: [],
    isUsed: opts.former?.isUsed ?? opts.isUsed,
    preference: opts.preference,
    ownInFlight: 0,
    idleConnections: 0,
    failures: opts.former?.failures ?? 0,
    failuresAtMs: opts.former?.failuresAtMs ?? opts.atMs,
    failuresInRow: opts.former?.failuresInRow ?? 0,
    ejections: opts.former?.ejections ?? 0,
    ejectedUntilMs: opts.former?.ejectedUntilMs ?? -Infinity,
    isUnhealthy: false,
    coldUntilMs: opts.atMs + server.warmUpMs,
    warmUpStatedAtMs: -Infinity,
    probedAtMs: undefined,
    requestLimit: opts.former?.requestLimit ?? { perSecond: undefined, statedAtMs: -Infinity },
    isLeaving: opts.isLeaving,
    backoffUntilMs: opts.former?.backoffUntilMs ?? -Infinity,
    noPermitUntilMs: -Infinity,
    permitBucket: undefined,
});

const removeServer = (draft: DispatchDraft, instanceId: string): void => {
    const known = draft.server(instanceId);
    if (known === undefined) {
        return;
    }
    const servers = draft.service(known.server.service).servers.without(instanceId);
    draft.updateService(known.server.service, { servers });
    draft.setServiceOfServer(instanceId, undefined);
    const { startedAtUnixMs, service } = known.server;
    const { isUsed, failures, failuresAtMs, failuresInRow, ejections, ejectedUntilMs } = known;
    const { requestLimit, backoffUntilMs } = known;
    draft.setFormerServer({
        instanceId,
        startedAtUnixMs,
        service,
        updatedAtMs: draft.atMs,
        isUsed,
        failures,
        failuresAtMs,
        failuresInRow,
        ejections,
        ejectedUntilMs,
        requestLimit,
        backoffUntilMs,
    });
    draft.emit({ type: "close-connections", instanceId, address: known.server.address });
};

const upsertServer = (draft: DispatchDraft, server: BackendServer, isUsed: boolean): void => {
    const { instanceId } = server;
    const known = draft.server(instanceId);
    const isSameProcess = known?.server.startedAtUnixMs === server.startedAtUnixMs
        && known.server.address === server.address && known.server.service === server.service;
    if (known !== undefined && !isSameProcess) {
        removeServer(draft, instanceId);
    }
    const former = draft.state.formerServers.get(instanceId);
    const isSameStart = former !== undefined && former.startedAtUnixMs >= server.startedAtUnixMs;
    draft.removeFormerServer(instanceId);
    const next = known !== undefined && isSameProcess
        ? { ...known, server }
        : createServer(server, {
            atMs: draft.atMs,
            preference: draft.nextRandom(),
            isUsed,
            isLeaving:
                (draft.state.leavingStarts.get(instanceId)?.startedAtUnixMs ?? -Infinity) >= server.startedAtUnixMs,
            former: isSameStart ? former : undefined,
        });
    draft.setServer(server.service, next);
    draft.setServiceOfServer(instanceId, server.service);
};

/** Applies changed registrations of backend servers. */
export const onServersChanged = (draft: DispatchDraft, changes: readonly RegistrationChange[]): void => {
    // Servers that this VM finds when it starts are taken as in use; only those that join later are new capacity.
    const isFirstList = draft.state.servicesByInstance.size === 0;
    for (const change of changes) {
        const { instanceId, server } = change;
        confirmCrashesByRegistration(draft, change);
        if (server === undefined) {
            removeServer(draft, instanceId);
        }
        else {
            upsertServer(draft, server, isFirstList);
        }
        draft.log({
            kind: server === undefined ? "server-removed" : server.isDraining ? "server-draining" : "server-registered",
            service: server?.service,
            instanceId,
            inputs: server === undefined ? {} : { address: server.address, zone: server.availabilityZone },
        });
    }
};
