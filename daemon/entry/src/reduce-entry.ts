import type { LoadReport, Transition } from "@marigoldstall/core.types";
import {
    createWarmUpUpdate,
    type Findings,
    HUB_LIMITS,
    selectFleetSize,
    selectLimitedProbeIntervalMs,
    selectLiveHub,
    selectLoadQueryIntervalMs,
    selectProbeAssignment,
    selectQuotaShare,
    selectReadDelayMs,
    toWarmUp,
    type UpdatesMessage,
} from "@marigoldstall/fleet.hubs";
import { selectConfigurationAgeMs, selectViewSummary } from "@marigoldstall/fleet.view";
import { isColdLimited, type ProbeDueAge, selectAttempt, selectLoads } from "@marigoldstall/routing.dispatch";
import { selectUsageReport } from "@marigoldstall/routing.quotas";
import { countZoneServers } from "./count-zone-servers.js";
import { EntryDraft } from "./entry-draft.js";
import type { EntryEffect } from "./entry-effect.js";
import type { EntryEvent } from "./entry-event.js";
import type { EntryState } from "./entry-state.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import { selectFindings } from "./select-findings.js";

const countVms = (draft: EntryDraft): number => selectFleetSize(draft.state.hub, draft.atMs);

const updateVmCount = (draft: EntryDraft, vmCount: number): void => {
    if (vmCount !== draft.state.dispatch.vmCount) {
        draft.applyDispatchEvent({ type: "vm-count-changed", ...draft.eventContext, vmCount });
    }
};

// A VM that is no hub, and hears one, asks it for the loads that a request needs.
const updateLoadSource = (draft: EntryDraft): void => {
    const { hub, dispatch } = draft.state;
    const hasHub = !hub.isHub && selectLiveHub(hub, draft.atMs) !== undefined;
    const loadQueryIntervalMs = hasHub ? selectLoadQueryIntervalMs(hub, draft.atMs) : undefined;
    if (loadQueryIntervalMs !== dispatch.loadQueryIntervalMs) {
        draft.applyDispatchEvent({ type: "load-source-changed", ...draft.eventContext, loadQueryIntervalMs });
    }
};

const updateProber = (draft: EntryDraft): void => {
    const zoneServerCount = countZoneServers(draft.state);
    const isProber = selectProbeAssignment(draft.state.hub, { atMs: draft.atMs, zoneServerCount }) !== undefined;
    draft.update({ zoneServerCount, isProber });
};

// Tells from which age of its load report on this VM probes a server.
const selectProbeDueAge = (draft: EntryDraft): ProbeDueAge | undefined => {
    const { state, atMs } = draft;
    const { hub, zoneServerCount, isProber } = state;
    const assignmentOf = isProber || hub.isHub ? selectProbeAssignment(hub, { atMs, zoneServerCount }) : undefined;
    if (assignmentOf === undefined) {
        return undefined;
    }
    const dueAgeMs = {
        assigned: state.probeIntervalMs,
        fallback: Math.max(HUB_LIMITS.proberTimeoutMs, state.probeIntervalMs),
        none: Infinity,
    };
    return (server, limitPerSecond) => {
        const ageMs = dueAgeMs[assignmentOf(server)];
        const { availabilityZone } = server;
        return limitPerSecond === undefined
            ? ageMs
            : Math.max(ageMs, selectLimitedProbeIntervalMs(hub, { availabilityZone, limitPerSecond, atMs }));
    };
};

const updateMetering = (draft: EntryDraft): void => {
    const { atMs, state: { hub, quotas } } = draft;
    if (quotas.isHub && quotas.quotas.size > 0) {
        draft.applyQuotaEvent({ type: "metering-tick", atMs, share: selectQuotaShare(hub, atMs) });
    }
};

const expireQuotaQueries = (draft: EntryDraft): void => {
    if (draft.state.quotas.pending.size > 0) {
        draft.applyQuotaEvent({ type: "query-tick", atMs: draft.atMs, hubHost: draft.hubHost });
    }
};

// Undefined where there are no quotas, so that heartbeats are as they were.
const selectMetered = ({ state: { quotas } }: EntryDraft): readonly string[] | "all" | undefined => {
    const { bounds, metered } = quotas;
    if (bounds === undefined || quotas.quotas.size === 0) {
        return undefined;
    }
    return metered === "all" ? metered : [...metered];
};

const onTick = (draft: EntryDraft): void => {
    const { atMs } = draft;
    if (atMs - draft.state.lastViewTickAtMs >= ENTRY_TIMINGS.viewTickIntervalMs) {
        draft.update({ lastViewTickAtMs: atMs });
        updateLoadSource(draft);
        updateProber(draft);
        draft.applyViewEvent({ type: "view-tick", atMs, readDelayMs: selectReadDelayMs(draft.state.hub, atMs) });
        updateMetering(draft);
    }
    expireQuotaQueries(draft);
    draft.applyDispatchEvent({
        type: "dispatch-tick",
        ...draft.eventContext,
        probeDueAgeMs: selectProbeDueAge(draft),
    });
    draft.applyHubEvent({
        type: "hub-tick",
        atMs,
        summarize: since => selectViewSummary(draft.state.view, { atMs, since }),
        listFindings: () => selectFindings(draft.state, atMs),
        reportUsage: () => selectUsageReport(draft.state.quotas, atMs),
        metered: selectMetered(draft),
    });
    if (draft.state.hub.isHub !== draft.state.quotas.isHub) {
        draft.applyQuotaEvent({ type: "hub-role-changed", atMs, isHub: draft.state.hub.isHub });
        updateMetering(draft);
    }
};

const onStatus = (
    draft: EntryDraft,
    event: Extract<EntryEvent, { readonly type: "status-received"; }>,
): void => {
    const { atMs } = draft;
    const { message, peerAddress } = event;
    draft.applyHubEvent({ type: "status-received", atMs, message });
    if (message.isHub) {
        const { vmId, availabilityZone } = message.sender;
        draft.applyQuotaEvent({ type: "hub-heard", atMs, vmId, availabilityZone, metered: message.quotas?.metered });
    }
    draft.applyViewEvent({ type: "view-summary-received", atMs, peerAddress, summary: message.summary });
    if (message.vms.length > 0) {
        // VMs that stopped responding may return after using part of the retry budget, so the count never decreases
        // here.
        updateVmCount(draft, Math.max(countVms(draft), draft.state.dispatch.vmCount));
    }
};

const receiveUsage = (draft: EntryDraft, { vmId, usage }: UpdatesMessage): void => {
    const { atMs, state: { hub } } = draft;
    const sender = hub.vms.get(vmId);
    if (usage !== undefined && sender !== undefined) {
        const { availabilityZone } = sender.info;
        const zone = availabilityZone === hub.self.availabilityZone ? undefined : availabilityZone;
        draft.applyQuotaEvent({ type: "usage-received", atMs, report: usage, zone });
    }
};

const onUpdates = (draft: EntryDraft, message: UpdatesMessage): void => {
    const { atMs } = draft;
    draft.applyHubEvent({ type: "updates-received", atMs, message });
    receiveUsage(draft, message);
    draft.applyDispatchEvent({
        type: "loads-received",
        ...draft.eventContext,
        loads: message.loads.map(({ instanceId, load, ageMs, warmUp }) => ({
            instanceId,
            load,
            measuredAtMs: atMs - ageMs,
            warmUp: toWarmUp(warmUp, atMs),
        })),
        sentRequests: message.sentRequests.map(({ instanceId, ageMs }) => ({ instanceId, sentAtMs: atMs - ageMs })),
        failures: message.failures,
        vmId: message.vmId,
    });
};

// Only a hub knows more about the servers than the VM that asks.
const onLoadQuery = (
    draft: EntryDraft,
    event: Extract<EntryEvent, { readonly type: "load-query-received"; }>,
): void => {
    const { atMs, state } = draft;
    const selection = state.hub.isHub
        ? selectLoads(state.dispatch, event.query, { atMs, random: draft.nextRandom })
        : undefined;
    if (selection === undefined) {
        return;
    }
    const { service, averageSlowness, bestInstanceId } = selection;
    const servers = selection.servers.map(({ measuredAtMs, othersSentAtMs, warmUp, ...server }) => ({
        ...server,
        ageMs: atMs - measuredAtMs,
        sentRequestAgesMs: othersSentAtMs.map(sentAtMs => atMs - sentAtMs),
        warmUp: warmUp && createWarmUpUpdate(warmUp, atMs),
    }));
    draft.emit({
        type: "send-message",
        hosts: [event.host],
        message: { type: "load-answer", service, averageSlowness, servers },
    });
    if (bestInstanceId !== undefined) {
        const { vmId } = event.query;
        draft.applyDispatchEvent({
            type: "server-recommended",
            ...draft.eventContext,
            instanceId: bestInstanceId,
            vmId,
        });
    }
};

const onLoadAnswer = (
    draft: EntryDraft,
    event: Extract<EntryEvent, { readonly type: "load-answer-received"; }>,
): void => {
    const { atMs } = draft;
    const { service, averageSlowness } = event.answer;
    const servers = event.answer.servers.map(({ ageMs, sentRequestAgesMs, warmUp, ...server }) => ({
        ...server,
        measuredAtMs: atMs - ageMs,
        othersSentAtMs: sentRequestAgesMs.map(sentAgeMs => atMs - sentAgeMs),
        warmUp: toWarmUp(warmUp, atMs),
    }));
    draft.applyDispatchEvent({ type: "loads-answered", ...draft.eventContext, service, averageSlowness, servers });
};

const onFindings = (draft: EntryDraft, findings: Findings): void => {
    const { atMs } = draft;
    draft.applyDispatchEvent({
        type: "limits-learned",
        ...draft.eventContext,
        limits: findings.limits.map(({ ageMs, ...limit }) => ({ ...limit, statedAtMs: atMs - ageMs })),
    });
    draft.applyDispatchEvent({ type: "leaving-learned", ...draft.eventContext, servers: findings.leaving });
    draft.applyDispatchEvent({
        type: "suspects-learned",
        ...draft.eventContext,
        suspects: findings.suspects.map(({ fingerprint, completionAgeMs, crashes }) => ({
            fingerprint,
            completedAtMs: atMs - completionAgeMs,
            crashes: crashes.map(({ ageMs, ...crash }) => ({ ...crash, atMs: atMs - ageMs })),
        })),
    });
};

const onPermitQuery = (
    draft: EntryDraft,
    event: Extract<EntryEvent, { readonly type: "permit-query-received"; }>,
): void => {
    const { query: { attemptId, instanceId }, host } = event;
    const { services, servicesByInstance } = draft.state.dispatch;
    const server = services.get(servicesByInstance.get(instanceId) ?? "")?.servers.get(instanceId);
    draft.decidePermit({
        attemptId,
        instanceId,
        availabilityZone: server?.server.availabilityZone ?? "",
        replyHost: host,
    });
};

// Other VMs are told of the warm-up only where it limits the requests.
const selectToldLoad = (draft: EntryDraft, instanceId: string, load: LoadReport): LoadReport => {
    const { coldForMs, ...others } = load;
    const { dispatch } = draft.state;
    const service = dispatch.servicesByInstance.get(instanceId) ?? "";
    return coldForMs !== undefined && isColdLimited(dispatch, service) ? load : others;
};

const applyEvent = (draft: EntryDraft, event: EntryEvent): void => {
    const { atMs } = draft;
    switch (event.type) {
        case "tick":
            onTick(draft);
            return;
        case "status-received":
            onStatus(draft, event);
            return;
        case "resumed":
            draft.applyViewEvent({ ...event, atMs });
            draft.applyDispatchEvent({ ...event, ...draft.eventContext });
            return;
        case "updates-received":
            onUpdates(draft, event.message);
            return;
        case "load-query-received":
            onLoadQuery(draft, event);
            return;
        case "load-answer-received":
            onLoadAnswer(draft, event);
            return;
        case "quota-query-received": {
            const { query: { reporterId, requestKey, tenantName }, host: replyHost } = event;
            draft.applyQuotaEvent({ type: "quota-queried", atMs, reporterId, requestKey, tenantName, replyHost });
            return;
        }
        case "quota-answer-received": {
            const { requestKey, verdict, retryAfterMs } = event.answer;
            draft.applyQuotaEvent({ type: "quota-answered", atMs, requestKey, verdict, retryAfterMs });
            return;
        }
        case "findings-received":
            onFindings(draft, event.findings);
            return;
        case "permit-query-received":
            onPermitQuery(draft, event);
            return;
        case "permit-answer-received":
            draft.applyDispatchEvent({ ...event.answer, type: "permit-answered", ...draft.eventContext });
            return;
        case "vms-found":
            draft.applyHubEvent({ ...event, atMs });
            updateVmCount(draft, countVms(draft));
            return;
        case "seeds-asked":
        case "registrations-read":
        case "registrations-listed":
        case "configuration-read":
        case "store-read-failed":
        case "view-snapshot-received":
        case "peer-configuration-received":
            draft.applyViewEvent({ ...event, atMs });
            return;
        case "attempt-answered":
        case "server-checked":
        case "probe-answered": {
            const instanceId = event.type === "probe-answered"
                ? event.instanceId
                : selectAttempt(draft.state.dispatch, event.attemptId)?.attempt.instanceId;
            if (event.load !== undefined && instanceId !== undefined) {
                draft.applyHubEvent({
                    type: "load-reported",
                    atMs,
                    instanceId,
                    load: selectToldLoad(draft, instanceId, event.load),
                });
            }
            draft.applyDispatchEvent({ ...event, atMs, random: draft.random });
            return;
        }
        case "idle-connections-changed": {
            // The most frequent event: two for each exchange with a server.
            const { type, instanceId, idleConnections } = event;
            draft.applyDispatchEvent({ type, atMs, random: draft.random, instanceId, idleConnections });
            return;
        }
        case "request-arrived":
            draft.applyDispatchEvent({
                ...event,
                ...draft.eventContext,
                configurationAgeMs: selectConfigurationAgeMs(draft.state.view, atMs),
            });
            return;
        case "caller-left":
        case "attempt-failed":
        case "probe-failed":
        case "server-verified":
        case "process-stopping":
        case "process-ending":
            draft.applyDispatchEvent({ ...event, ...draft.eventContext });
            return;
    }
};

/** Root reducer of the entry daemon. */
export const reduceEntry = (
    state: EntryState,
    event: EntryEvent,
    opts: { readonly atMs: number; readonly random: number; },
): Transition<EntryState, EntryEffect> => {
    const draft = new EntryDraft(state, opts);
    applyEvent(draft, event);
    return draft.finish();
};
