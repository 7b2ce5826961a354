import {
    createQuotaState,
    type QuotaEffect,
    type QuotaEvent,
    type QuotaState,
    reduceQuotas,
    selectUsageReport,
    type UsageReport,
} from "@marigoldstall/routing.quotas";

type Untimed<Event> = Event extends unknown ? Omit<Event, "atMs"> : never;

/** Drives the quotas reducer of one VM in a test and records its effects. */
export class QuotaHarness {
    state: QuotaState;
    atMs = 100_000;
    readonly effects: QuotaEffect[] = [];
    private nextRequest = 1;

    constructor(opts: { readonly vmId?: string; readonly isHub?: boolean; readonly perSecond?: number; } = {}) {
        this.state = createQuotaState({
            bounds: { windowMs: 5_000, overShare: 0.1, slackRequests: 20 },
            reporterId: opts.vmId ?? "vm",
            availabilityZone: "east",
            // Earlier than a window ago.
            atMs: 0,
        });
        const perSecond = opts.perSecond ?? 10;
        const quotas = new Map([["gardens", { requestsPerSecond: perSecond, burstRequests: perSecond }]]);
        this.send({ type: "quotas-configured", quotas });
        if (opts.isHub === true) {
            this.send({ type: "hub-role-changed", isHub: true });
            this.send({ type: "metering-tick", share: 1 });
        }
    }

    send(event: Untimed<QuotaEvent>): readonly QuotaEffect[] {
        const { state, effects } = reduceQuotas(this.state, { ...event, atMs: this.atMs } as QuotaEvent);
        this.state = state;
        this.effects.push(...effects);
        return effects;
    }

    hearHub(metered: readonly string[] | "all"): void {
        this.send({ type: "hub-heard", vmId: "hub", availabilityZone: "east", metered });
    }

    /** Asks for the admission of a request and returns the effects. */
    request(hubHost: string | undefined = "hub"): readonly QuotaEffect[] {
        this.nextRequest += 1;
        const requestKey = String(this.nextRequest);
        return this.send({ type: "admission-requested", requestKey, tenantName: "gardens", hubHost });
    }

    query(reporterId: string): readonly QuotaEffect[] {
        const fields = { requestKey: "1", tenantName: "gardens", replyHost: reporterId };
        return this.send({ type: "quota-queried", reporterId, ...fields });
    }

    /** Takes the report that is due, as if it had been sent. */
    report(): UsageReport | undefined {
        const report = selectUsageReport(this.state, this.atMs);
        if (report !== undefined) {
            this.send({ type: "usage-reported" });
        }
        return report;
    }
}
