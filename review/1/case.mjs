import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../stand-ins/run-case.mjs";

const HOST = "hulo84.example";
const ROUTES = [
    { host: HOST, prefix: "/status/", kind: "safe", service: "statusdesk", targetMs: 400, timeoutMs: 1_200 },
    { host: HOST, prefix: "/season/", kind: "safe", service: "arhiv", targetMs: 1_500, timeoutMs: 3_000 },
];
const DEADLINES_MS = { "/status/": 1_200, "/season/": 5_000 };
const SERVERS = { statusdesk: 12, arhiv: 7 };
const WORK_MS = { statusdesk: 160, arhiv: 640 };
const VM_COUNT = 2;
const CALLERS_PER_VM = 14;
const DURATION_MS = 60_000;
const TROUBLE_FROM_MS = 5_000;
const ENDLESS_SHARE = 0.45;
const RESTART_DELAY_MS = 1_000;
// Pause of a caller whose connection was refused.
const REFUSED_PAUSE_MS = 300;
// The rule allows so many requests that were passed on and whose connection was closed without an answer.
const MAX_LOST = 3;
// Short lines, as a server sends them that flushes after each.
const PIECES = Buffer.from("8\r\n{\"a\":1}\n\r\n".repeat(6_000));

const sendEndless = (response, id) => {
    const { socket } = response;
    const write = () => {
        while (!socket.destroyed && socket.write(PIECES)) {
            // The socket takes more.
        }
    };
    socket.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            + `X-Request-Id: ${id}\r\nX-Server-Stamp: stamp.${id}\r\n\r\n`,
    );
    socket.on("drain", write);
    write();
};

await runCase(import.meta.url, async site => {
    const { record, store } = site;
    store.publish(7, ROUTES, Object.keys(SERVERS));
    const endlessIds = new Set();
    const soundIds = new Set();
    let trafficFromMs = Infinity;
    const isInTrouble = () => site.isTrouble && performance.now() - trafficFromMs >= TROUBLE_FROM_MS;
    for (const [service, count] of Object.entries(SERVERS)) {
        for (let index = 0; index < count; index += 1) {
            const id = `i-${service}-${index}`;
            const isFaulty = id === "i-arhiv-0";
            await site.addBackend({
                id,
                service,
                workMs: () => WORK_MS[service],
                onRun: run => {
                    if (!isFaulty) {
                        soundIds.add(run.id);
                    }
                },
                answer: (request, response) => {
                    const requestId = request.headers["x-request-id"];
                    if (!isFaulty || !isInTrouble() || Math.random() >= ENDLESS_SHARE) {
                        return false;
                    }
                    endlessIds.add(requestId);
                    record(`${id} answers ${requestId} with a body without end, until its caller closes`);
                    sendEndless(response, requestId);
                    return true;
                },
            });
        }
    }
    const entries = await site.startEntries(VM_COUNT);
    await sleep(4_000);
    trafficFromMs = performance.now();
    const ends = new Map(entries.map(entry => [entry.name, 0]));
    const watch = async entry => {
        for (;;) {
            await entry.ended;
            if (!site.isLive) {
                return;
            }
            ends.set(entry.name, ends.get(entry.name) + 1);
            await sleep(RESTART_DELAY_MS);
            if (!site.isLive) {
                return;
            }
            entry.start();
        }
    };
    entries.forEach(entry => void watch(entry));
    const lost = [];
    const loop = async (entry, prefix) => {
        const caller = site.caller(entry);
        while (performance.now() - trafficFromMs < DURATION_MS) {
            const outcome = await caller.send({ host: HOST, path: `${prefix}1`, deadlineMs: DEADLINES_MS[prefix] });
            const isPassedOn = soundIds.has(outcome.id) && !endlessIds.has(outcome.id);
            if (outcome.error !== undefined && !outcome.hasGivenUp && outcome.isReused && isPassedOn) {
                lost.push(outcome);
                record(
                    `LOST: ${outcome.id} was passed on to a sound server, and its kept connection ended: ${outcome.error}`,
                );
            }
            await sleep(outcome.error?.includes("ECONNREFUSED") ? REFUSED_PAUSE_MS : 50 + 100 * Math.random());
        }
    };
    await Promise.all(
        entries.flatMap(entry =>
            [...Array(CALLERS_PER_VM).keys()].map(index => loop(entry, index % 2 === 0 ? "/season/" : "/status/"))
        ),
    );
    const counts = [...ends].map(([name, count]) => `${name} ${count} times`).join(", ");
    record(
        `${endlessIds.size} answers without end; processes that ended by themselves: ${counts}; ${lost.length} requests lost`,
    );
    return lost.length > MAX_LOST
        ? [`${lost.length} requests lost; processes that ended by themselves: ${counts}; ${endlessIds.size} answers without end`]
        : [];
});
