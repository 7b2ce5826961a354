// A pipelining caller's connection over a planned stop (SIGTERM) of its entry process. See claim.txt.
import {
    Backend,
    CallerConnection,
    Fleet,
    HAS_TROUBLE,
    nowMs,
    openRecord,
    putConfiguration,
    route,
    sleep,
    Store,
} from "../stand-ins-2/lib.mjs";

const CONNECTIONS = 2;
const WARM_UP_REQUESTS = 20;
const SHORT_WORK_MS = 150;
const LONG_WORK_MS = 2_400;
const HOST = "arhiv.example";
// Figures of the site's `archive-sync` requests.
const DEADLINE_MS = 8_000;
const TIMEOUT_MS = 4_000;
const STOP_AFTER_MS = 400;
const GRACE_MS = 6_000;
const REQUEST = { host: HOST, deadlineMs: DEADLINE_MS };

const record = openRecord(import.meta.url);
const store = new Store();
const backends = [];
const fleet = new Fleet({ store, record });

// Resolves for all once all have arrived.
const isStarted = (() => {
    let missing = CONNECTIONS + 1;
    let open;
    const opened = new Promise(resolve => {
        open = resolve;
    });
    return {
        arrive: () => {
            missing -= 1;
            if (missing === 0) {
                open();
            }
            return opened;
        },
    };
})();

const runSequence = async (vm, index) => {
    const caller = new CallerConnection(vm, { record, name: `caller ${index}` });
    await caller.connected();
    // Ordinary requests: the connection is a kept one from here on.
    for (let count = 0; count < WARM_UP_REQUESTS; count += 1) {
        await caller.send({ ...REQUEST, path: "/arhiv/short" }).done;
    }
    await isStarted.arrive();
    const first = caller.send({ ...REQUEST, path: "/arhiv/long" });
    const second = caller.send({ ...REQUEST, path: "/arhiv/short" });
    // The stop comes while the first request runs. The second one has been run and its answer waits for its turn.
    await sleep(STOP_AFTER_MS + 300);
    const third = caller.send({ ...REQUEST, path: "/arhiv/short" });
    await Promise.all([first.done, second.done]);
    await sleep(100);
    const fourth = caller.closedAtMs === undefined ? caller.send({ ...REQUEST, path: "/arhiv/short" }) : undefined;
    return { caller, requests: [first, second, third, fourth].filter(one => one !== undefined) };
};

const main = async () => {
    await store.start();
    putConfiguration(store, {
        host: HOST,
        routes: [route({
            service: "nocny-archiv",
            routeType: "safe",
            targetLatency: "1200ms",
            prefix: "/arhiv/",
            timeout: `${TIMEOUT_MS}ms`,
        })],
    });
    for (let index = 0; index < 8; index += 1) {
        const workMs = request => request.url === "/arhiv/long" ? LONG_WORK_MS : SHORT_WORK_MS;
        const backend = new Backend({ store, record, service: "nocny-archiv", zone: "hlinky", workMs });
        await backend.start();
        backends.push(backend);
    }
    await fleet.start(["hlinky", "hlinky", "vlcince"]);
    await sleep(4_000);
    const [vm] = fleet.vms;
    const sequences = Promise.all([...Array(CONNECTIONS).keys()].map(index => runSequence(vm, index + 1)));
    await isStarted.arrive();
    await sleep(STOP_AFTER_MS);
    if (HAS_TROUBLE) {
        await fleet.term(vm);
    }
    const results = await sequences;
    await Promise.race([Promise.all(results.flatMap(one => one.requests.map(({ done }) => done))), sleep(TIMEOUT_MS)]);
    const atEndMs = nowMs();
    const runs = backends.flatMap(backend => backend.runs);
    let lost = 0;
    for (const { caller, requests } of results) {
        for (const request of requests) {
            const run = runs.find(({ id }) => id === request.id);
            const closedAtMs = caller.closedAtMs ?? atEndMs;
            if (request.isAnswered || run === undefined) {
                continue;
            }
            // The excuses of the rule: the deadline or the route's timeout was reached, or the backend was still at work
            // in the last sixth of grace.
            const wasOverdue = closedAtMs - request.sentAtMs >= Math.min(TIMEOUT_MS, DEADLINE_MS);
            const wasAtWork = (run.endedAtMs ?? Infinity) >= vm.termAtMs + GRACE_MS * 5 / 6;
            if (!wasOverdue && !wasAtWork) {
                lost += 1;
                record(
                    `LOST: ${caller.name} ${request.id} was sent ${
                        Math.round(request.sentAtMs - vm.termAtMs)
                    } ms after `
                        + `SIGTERM, had run ${
                            Math.round(run.endedAtMs - request.sentAtMs)
                        } ms later, and its connection `
                        + `ended without an answer ${Math.round(closedAtMs - request.sentAtMs)} ms after it was sent`,
                );
            }
        }
        caller.close();
    }
    const unanswered = results.flatMap(one => one.requests).filter(one => !one.isAnswered).length;
    record(`result: ${lost} requests lost after they had run, ${unanswered} unanswered in all`);
    return lost > 0 ? 1 : 0;
};

let code = 2;
try {
    code = await main();
}
catch (error) {
    record(`the case could not run: ${error.stack}`);
}
fleet.stop();
backends.forEach(backend => backend.stop());
process.exit(code);
