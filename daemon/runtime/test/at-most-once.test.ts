import { expect } from "chai";
import { v7 as createKey } from "uuid";
import { eventually } from "./support/eventually.js";
import { sendRequest } from "./support/send-request.js";
import { TestBackend } from "./support/test-backend.js";
import { TestSite } from "./support/test-site.js";

describe("daemon.runtime requests with an idempotency key", function() {
    this.timeout(60_000);
    let site: TestSite;
    let callers: readonly string[] = [];

    const dispatch = (caller: string, key: string, body = "crew 4") =>
        sendRequest(caller, {
            path: "/statusdesk/dispatch/1",
            method: "POST",
            body,
            headers: { "Idempotency-Key": key },
        });

    /** Starts daemons and waits until every share has an owner. */
    const start = async (count: number, handler?: TestBackend["handler"]): Promise<void> => {
        site = await TestSite.start({ backends: [new TestBackend(handler), new TestBackend(handler)] });
        const daemons = [];
        for (let index = 1; index <= count; index += 1) {
            daemons.push(await site.startReadyDaemon(`entry-${index}`));
        }
        callers = daemons.map(daemon => daemon.addresses.caller);
        for (const caller of callers) {
            await eventually(
                async () => {
                    const answers = await Promise.all(
                        Array.from({ length: 20 }, () => dispatch(caller, createKey())),
                    );
                    return answers.every(answer => answer.statusCode === 200);
                },
                { what: "all shares have owners that grant", withinMs: 40_000 },
            );
        }
        for (const backend of site.backends) {
            backend.received.length = 0;
        }
    };

    const runs = (): number => site.backends.reduce((sum, backend) => sum + backend.received.length, 0);

    afterEach(() => site.stop());

    it("runs a key once, whichever daemons its repeats reach, and repeats the response", async () => {
        await start(3);
        for (let round = 0; round < 10; round += 1) {
            const key = createKey();
            const first = await dispatch(callers[round % 3] as string, key);
            expect(first).to.include({ statusCode: 200, body: "POST /dispatch/1 6" });
            for (const caller of callers) {
                const repeat = await dispatch(caller, key);
                expect(repeat).to.include({ statusCode: 200, body: "POST /dispatch/1 6" });
                expect(repeat.headers["marigoldstall-outcome"]).to.equal("completed");
                expect(repeat.headers["request-id"]).not.to.equal(first.headers["request-id"]);
            }
        }
        expect(runs()).to.equal(10);
    });

    it("runs a key once when it is sent to several daemons at the same time", async () => {
        await start(3, (request, response, backend) => {
            setTimeout(() => {
                backend.answer(request, response);
            }, 100);
        });
        const key = createKey();
        const answers = await Promise.all([...callers, ...callers].map(caller => dispatch(caller, key)));
        expect(runs()).to.equal(1);
        expect(answers.filter(answer => answer.statusCode === 200).length).to.be.greaterThan(0);
    });

    it("refuses a key that is used for other content", async () => {
        await start(1);
        const key = createKey();
        await dispatch(callers[0] as string, key);
        const other = await dispatch(callers[0] as string, key, "crew 5");
        expect(other.statusCode).to.equal(422);
        expect(runs()).to.equal(1);
    });

    it("goes on granting keys while the log is down", async () => {
        await start(2);
        site.log.setFaults({ outage: "refuse" });
        // Longer than a bound lasts without being raised by a guardian.
        const untilMs = performance.now() + 9_000;
        let failures = 0;
        while (performance.now() < untilMs) {
            const answer = await dispatch(callers[0] as string, createKey());
            failures += answer.statusCode === 200 ? 0 : 1;
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        expect(failures).to.equal(0);
        site.log.setFaults({});
    });

    it("stores the response for repeats although the caller left while the request ran", async () => {
        let release: (() => void) | undefined;
        await start(1);
        for (const backend of site.backends) {
            backend.handler = (request, response) => {
                release = () => {
                    backend.answer(request, response);
                };
            };
        }
        const key = createKey();
        const abort = new AbortController();
        const abandoned = sendRequest(callers[0] as string, {
            path: "/statusdesk/dispatch/1",
            method: "POST",
            body: "crew 4",
            headers: { "Idempotency-Key": key },
            signal: abort.signal,
        });
        await eventually(() => release !== undefined, { what: "the request runs" });
        abort.abort();
        await abandoned;
        release?.();
        await eventually(
            async () => (await dispatch(callers[0] as string, key)).body === "POST /dispatch/1 6",
            { what: "the response is kept" },
        );
        expect(runs()).to.equal(1);
    });
});
