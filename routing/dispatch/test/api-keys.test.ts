import type { RoutingConfiguration, Tenant } from "@marigoldstall/core.types";
import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

const GARDENS: Tenant = { name: "gardens", priority: undefined, quota: undefined };
const URGENT: Tenant = { name: "urgent", priority: 0, quota: undefined };

const configure = (harness: DispatchHarness): void => {
    const configuration: RoutingConfiguration = {
        version: 2,
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        routesByHost: new Map([["parks.example", [
            DispatchHarness.route({}),
            DispatchHarness.route({ name: "open", pathPrefix: "/open/", isPublic: true }),
        ]]]),
        services: new Map([["one", { name: "one", healthPath: "/health", maxConnections: 220 }]]),
        tenantsByKey: new Map([["key-1", GARDENS], ["key-2", GARDENS], ["key-3", URGENT]]),
    };
    harness.send({ type: "configuration-adopted", configuration });
};

describe("routing.dispatch with tenants", () => {
    let harness: DispatchHarness;

    beforeEach(() => {
        harness = new DispatchHarness({ keyRevocationMs: 5_000 });
        configure(harness);
    });

    it("tells the server the tenant of the caller's key", () => {
        const attempt = harness.lastAttempt(harness.arrive({ apiKey: "key-2" }));
        expect(attempt.tenantName).to.equal("gardens");
        expect(attempt.hidesApiKey).to.equal(true);
    });

    for (const apiKey of [undefined, "", "unknown"]) {
        it(`answers 401 to a request with the key ${String(apiKey)}, and sends it to no server`, () => {
            const requestKey = harness.arrive({ apiKey });
            expect(harness.rejectionOf(requestKey)?.statusCode).to.equal(401);
            expect(harness.attemptsOf(requestKey)).to.deep.equal([]);
        });
    }

    it("answers 404 before 401", () => {
        expect(harness.rejectionOf(harness.arrive({ path: "/nowhere/" }))?.statusCode).to.equal(404);
    });

    it("serves a public route without a key, and names the tenant of a known one", () => {
        const without = harness.lastAttempt(harness.arrive({ path: "/open/1" }));
        expect([without.tenantName, without.hidesApiKey]).to.deep.equal([undefined, true]);
        expect(harness.lastAttempt(harness.arrive({ path: "/open/1", apiKey: "key-1" })).tenantName)
            .to.equal("gardens");
        expect(harness.lastAttempt(harness.arrive({ path: "/open/1", apiKey: "unknown" })).tenantName)
            .to.equal(undefined);
    });

    it("passes the caller's headers on where the configuration has no tenants", () => {
        const plain = new DispatchHarness();
        const attempt = plain.lastAttempt(plain.arrive({ apiKey: "key-1" }));
        expect([attempt.tenantName, attempt.hidesApiKey]).to.deep.equal([undefined, false]);
    });

    it("puts the tenant's priority before that of the route", () => {
        const busy = new DispatchHarness({ servers: 1, slots: 1, route: { latencyTargetMs: 5_000 } });
        configure(busy);
        busy.arrive({ apiKey: "key-1" });
        const usual = busy.arrive({ apiKey: "key-1" });
        const urgent = busy.arrive({ apiKey: "key-3" });
        busy.answer(busy.effectsOf("start-attempt")[0]?.attemptId ?? "", {
            load: { inFlight: 0, queued: 0, slots: 1, slownessPercent: 100 },
        });
        expect(busy.attemptsOf(urgent)).to.have.length(1);
        expect(busy.attemptsOf(usual)).to.have.length(0);
    });

    it("logs no key", () => {
        harness.arrive({ apiKey: "key-1" });
        harness.arrive({ apiKey: "secret-9" });
        harness.arrive({ apiKey: "key-1", configurationAgeMs: 9_000 });
        expect(JSON.stringify(harness.effectsOf("log-decision"))).not.to.match(/key-1|secret-9/);
    });

    // A VM that is cut off does not learn that a key was taken away.
    describe("once the configuration is older than the lease", () => {
        it("rejects requests with any key as not run, and goes on with public routes", () => {
            for (const apiKey of ["key-1", "unknown", undefined]) {
                const rejection = harness.rejectionOf(harness.arrive({ apiKey, configurationAgeMs: 4_001 }));
                expect(rejection?.statusCode).to.equal(503);
                expect(rejection?.reason).to.equal("configuration-unconfirmed");
                expect(rejection?.retryAfterMs).to.be.greaterThan(0);
            }
            const open = harness.lastAttempt(
                harness.arrive({ path: "/open/1", apiKey: "key-1", configurationAgeMs: 9_000 }),
            );
            expect(open.tenantName).to.equal(undefined);
        });

        it("serves requests up to the lease, and at any age where revocation binds only VMs in touch", () => {
            expect(harness.attemptsOf(harness.arrive({ apiKey: "key-1", configurationAgeMs: 4_000 })))
                .to.have.length(1);
            const lenient = new DispatchHarness();
            configure(lenient);
            expect(lenient.attemptsOf(lenient.arrive({ apiKey: "key-1", configurationAgeMs: 90_000 })))
                .to.have.length(1);
        });
    });
});
