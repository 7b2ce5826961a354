import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";
import { ModelServers } from "./model-servers.js";

const RETRY_AFTER_MS = 5_000;
// What the users allow: two requests of each VM, from half a second after it was refused.
const SETTLED_AFTER_MS = 500;
const ALLOWED_REQUESTS = 2;
const ROUND_TRIP_MS = 3;
const REFUSING_ID = "i-0";

const runRefusing = (whileRefusing: (model: FleetModel, elapsedMs: number) => void) => {
    const model = new FleetModel({ vmCount: 4, zones: 2, serverCount: 3, delayMs: 1 });
    void new ModelServers(model, { workMs: 50, slots: 4, limits: new Map(), limitedFromMs: Infinity });
    const { respond } = model;
    const refusals: { readonly vmId: string; readonly atMs: number; }[] = [];
    model.respond = (vmId, effect) => {
        if (effect.type !== "start-attempt" || effect.instanceId !== REFUSING_ID) {
            return respond?.(vmId, effect);
        }
        refusals.push({ vmId, atMs: model.atMs });
        return {
            delayMs: ROUND_TRIP_MS,
            event: {
                type: "attempt-answered",
                attemptId: effect.attemptId,
                statusCode: 503,
                notRun: true,
                bodyBytes: 0,
                cutsOtherRequests: false,
                load: undefined,
                directives: { requestLimitPerSecond: undefined, retryAfterMs: RETRY_AFTER_MS },
            },
        };
    };
    model.run(2_000);
    for (let elapsedMs = 0; elapsedMs < RETRY_AFTER_MS; elapsedMs += 20) {
        for (const vmId of model.live) {
            model.arrive(vmId);
        }
        whileRefusing(model, elapsedMs);
        model.run(20);
    }
    const counts = model.live.map(vmId => {
        const times = refusals.filter(refusal => refusal.vmId === vmId).map(({ atMs }) => atMs);
        const firstMs = times[0] ?? Infinity;
        const lastMs = firstMs + ROUND_TRIP_MS + RETRY_AFTER_MS;
        return times.filter(atMs => atMs >= firstMs + SETTLED_AFTER_MS && atMs < lastMs).length;
    });
    return { counts, refusals };
};

describe("a server that asks for time and whose registration lapses in that time", () => {
    // Its statement went with its registration, and 205 requests reached it where two are allowed.
    it("gets at most two requests from each VM when it comes back with the same start", () => {
        const { counts, refusals } = runRefusing((model, elapsedMs) => {
            if (elapsedMs % 1_200 === 600) {
                model.remove(REFUSING_ID);
            }
            else if (elapsedMs % 1_200 === 1_000) {
                model.registerServer(REFUSING_ID);
            }
        });
        expect(refusals.length).to.be.greaterThan(0);
        expect(Math.max(...counts)).to.be.at.most(ALLOWED_REQUESTS);
    }).timeout(30_000);

    // An entry that cannot be decoded is passed over, so a list that is read while it stands there lacks the server.
    it("gets at most two requests from each VM when an odd entry stands in its place while lists are read", () => {
        const { counts, refusals } = runRefusing((model, elapsedMs) => {
            if (elapsedMs % 1_200 === 600) {
                // The odd entry takes an offset, as this one does.
                model.register(model.registration("i-1"));
                const others = ["i-1", "i-2"].map((instanceId, offset) => ({
                    offset,
                    instanceId,
                    server: model.registration(instanceId),
                }));
                for (const vmId of model.live) {
                    model.dispatch(vmId, {
                        type: "registrations-listed",
                        startedAtMs: model.atMs,
                        era: model.state(vmId).view.registrationReading.next?.era ?? 0,
                        registrations: others,
                        nextOffset: model.registrationEndOffset,
                    });
                    expect(model.state(vmId).dispatch.servicesByInstance.has(REFUSING_ID)).to.equal(false);
                }
            }
            else if (elapsedMs % 1_200 === 1_000) {
                model.registerServer(REFUSING_ID);
            }
        });
        expect(refusals.length).to.be.greaterThan(0);
        expect(Math.max(...counts)).to.be.at.most(ALLOWED_REQUESTS);
    }).timeout(30_000);
});
