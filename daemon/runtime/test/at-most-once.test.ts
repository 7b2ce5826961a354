import { expect } from "chai";
import { v7 as createKey } from "uuid";
import { sendRequest } from "./support/send-request.js";
import { TestBackend } from "./support/test-backend.js";
import { TestSite } from "./support/test-site.js";
import { waitUntil } from "./support/wait-until.js";

describe("daemon.runtime requests with an idempotency key", function() {
    this.timeout(60_000);
    let site: TestSite;
    let callers: readonly string[] = [];

    const sendDispatch = (caller: string, key: string, body = "crew 4") =>
        sendRequest(caller, {
            path: "/statusdesk/dispatch/1",
            method: "POST",
            body,
            headers: { "Idempotency-Key": key },
        });

    /** Starts daemons and waits until every share has an owner that grants keys. */
    const start = async (count: number, handler?: TestBackend["handler"]): Promise<void> => {
        site = await TestSite.start({ backends: [new TestBackend(handler), new TestBackend(handler)] });
        const daemons = [];
        for (let index = 1; index <= count; index += 1) {
            daemons.push(await site.startReadyDaemon(`entry-${index}`));
        }
        callers = daemons.map(daemon => daemon.addresses.caller);
        for (const caller of callers) {
            await waitUntil(
                async () => {
                    const answers = await Promise.all(
                        Array.from({ length: 20 }, () => sendDispatch(caller, createKey())),
                    );
                    return answers.every(answer => answer.statusCode === 200);
                },
                { description: "all shares have owners that grant keys", timeoutMs: 40_000 },
            );
        }
        for (const backend of site.backends) {
            backend.receivedPaths.length = 0;
        }
    };

    const countRuns = (): number => site.backends.reduce((sum, backend) => sum + backend.receivedPaths.length, 0);

    afterEach(() => site.stop());

    it("runs a key once and returns the stored response to its repeats on every daemon", async () => {
        await start(3);
        for (let round = 0; round < 10; round += 1) {
            const key = createKey();
            const first = await sendDispatch(callers[round % 3] as string, key);
            expect(first).to.include({ statusCode: 200, body: "POST /dispatch/1 6" });
            for (const caller of callers) {
                const repeat = await sendDispatch(caller, key);
                expect(repeat).to.include({ statusCode: 200, body: "POST /dispatch/1 6" });
                expect(repeat.headers["marigoldstall-outcome"]).to.equal("completed");
                expect(repeat.headers["request-id"]).not.to.equal(first.headers["request-id"]);
            }
        }
        expect(countRuns()).to.equal(10);
    });

    it("runs a key once when several daemons receive it at the same time", async () => {
        await start(3, (request, response, backend) => {
            setTimeout(() => {
                backend.answer(request, response);
            }, 100);
        });
        const key = createKey();
        const answers = await Promise.all([...callers, ...callers].map(caller => sendDispatch(caller, key)));
        expect(countRuns()).to.equal(1);
        expect(answers.filter(answer => answer.statusCode === 200).length).to.be.greaterThan(0);
    });

    it("rejects a key that is reused for a different body", async () => {
        await start(1);
        const key = createKey();
        await sendDispatch(callers[0] as string, key);
        const other = await sendDispatch(callers[0] as string, key, "crew 5");
        expect(other.statusCode).to.equal(422);
        expect(countRuns()).to.equal(1);
    });

    it("keeps granting keys while the log is down", async () => {
        await start(2);
        site.log.setFaults({ outage: "refuse" });
        // Longer than a bound lasts unless a guardian raises it.
        const untilMs = performance.now() + 9_000;
        let failures = 0;
        while (performance.now() < untilMs) {
            const answer = await sendDispatch(callers[0] as string, createKey());
            failures += answer.statusCode === 200 ? 0 : 1;
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        expect(failures).to.equal(0);
        site.log.setFaults({});
    });

    it("stores the response for repeats when the caller disconnects while the request runs", async () => {
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
        await waitUntil(() => release !== undefined, { description: "the request is running" });
        abort.abort();
        await abandoned;
        release?.();
        await waitUntil(
            async () => (await sendDispatch(callers[0] as string, key)).body === "POST /dispatch/1 6",
            { description: "the response is stored" },
        );
        expect(countRuns()).to.equal(1);
    });
});
