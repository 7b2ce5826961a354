import { randomBytes } from "node:crypto";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../stand-ins/run-case.mjs";

const HOST = "hulo84.example";
const TIMEOUT_MS = 3_000;
const DEADLINE_MS = 5_000;
const ROUTES = [
    { host: HOST, prefix: "/season/", kind: "safe", service: "arhiv", targetMs: 1_500, timeoutMs: TIMEOUT_MS },
];
const VM_COUNT = 2;
const CALLERS_PER_VM = 3;
const REQUESTS_AHEAD = 3;
const DURATION_MS = 60_000;
const GRACE_MS = 500;
// The dose of `garble` in the site file, several times.
const GARBLED_SHARE = 0.03;
const GARBLING_FOR_MS = 5_000;
const GARBLING_PAUSE_MS = 2_500;
const GARBLING_SERVERS = 4;
const SERVERS = 7;
const MIN_UNANSWERED = 8;

// Sends some requests one after the other on a connection, and reads the answers in that order until the deadline.
const sendAhead = (site, entry) =>
    new Promise(resolve => {
        const sent = [...Array(REQUESTS_AHEAD)].map(() => ({ id: randomBytes(8).toString("hex"), entry }));
        const socket = connect(entry.frontAddress);
        let text = "";
        let answered = 0;
        const finish = () => {
            clearTimeout(timer);
            socket.destroy();
            resolve(sent);
        };
        const timer = setTimeout(finish, DEADLINE_MS);
        socket.on("error", () => undefined);
        socket.on("close", finish);
        socket.on("connect", () => {
            const sentAtMs = performance.now();
            for (const request of sent) {
                request.sentAtMs = sentAtMs;
                site.record(`caller sends GET /season/1 as ${request.id} to ${entry.name}`);
                socket.write(
                    `GET /season/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${request.id}\r\n`
                        + `X-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
                );
            }
        });
        socket.on("data", data => {
            text += data.toString("latin1");
            for (;;) {
                const headEnd = text.indexOf("\r\n\r\n");
                const length = Number(/content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? 0);
                if (headEnd < 0 || text.length < headEnd + 4 + length) {
                    return;
                }
                const request = sent[answered];
                answered += 1;
                request.status = Number(text.slice(9, 12));
                request.afterMs = Math.round(performance.now() - request.sentAtMs);
                site.record(`caller got ${request.status} for ${request.id} after ${request.afterMs} ms`);
                text = text.slice(headEnd + 4 + length);
                if (answered === sent.length) {
                    finish();
                    return;
                }
            }
        });
    });

await runCase(import.meta.url, async site => {
    const { record, store } = site;
    store.publish(7, ROUTES, ["arhiv"]);
    const soundRuns = new Set();
    const garbledIds = new Set();
    const startedAtMs = performance.now();
    const isInTrouble = () =>
        site.isTrouble
        && (performance.now() - startedAtMs) % (GARBLING_FOR_MS + GARBLING_PAUSE_MS) < GARBLING_FOR_MS;
    for (let index = 0; index < SERVERS; index += 1) {
        await site.addBackend({
            id: `i-arhiv-${index}`,
            service: "arhiv",
            workMs: () => 300,
            answer: (request, response) => {
                const id = request.headers["x-request-id"];
                if (!isInTrouble() || index >= GARBLING_SERVERS || Math.random() >= GARBLED_SHARE) {
                    soundRuns.add(id);
                    return false;
                }
                garbledIds.add(id);
                const isHeaderSpoiled = garbledIds.size % 2 === 1;
                const [what, statusLine, header] = isHeaderSpoiled
                    ? ["a header", "HTTP/1.1 200 OK", "X-Cache : miss"]
                    : ["the status line", "HTTP/1.1 000 OK", "X-Cache: miss"];
                record(`i-arhiv-${index} spoils ${what} of its answer to ${id}`);
                response.socket.end(
                    `${statusLine}\r\n${header}\r\nX-Request-Id: ${id}\r\nX-Server-Stamp: stamp.${id}\r\n`
                        + "Connection: close\r\nContent-Length: 0\r\n\r\n",
                );
                return true;
            },
        });
    }
    const entries = await site.startEntries(VM_COUNT);
    await sleep(4_000);
    const endAtMs = performance.now() + DURATION_MS;
    const sent = [];
    const loop = async entry => {
        while (performance.now() < endAtMs) {
            sent.push(...await sendAhead(site, entry));
        }
    };
    await Promise.all(entries.flatMap(entry => [...Array(CALLERS_PER_VM)].map(() => loop(entry))));
    const overdue = sent.filter(({ afterMs = Infinity }) => afterMs > TIMEOUT_MS);
    const unanswered = overdue.filter(({ afterMs = Infinity }) => afterMs > TIMEOUT_MS + GRACE_MS);
    const soundCount = unanswered.filter(({ id }) => soundRuns.has(id)).length;
    record(
        `${sent.length} requests, ${garbledIds.size} spoiled answers, ${overdue.length} requests without an answer at the `
            + `timeout of the route, ${unanswered.length} still without one ${GRACE_MS} ms later, ${soundCount} of them `
            + "answered whole by a sound server",
    );
    return unanswered.length >= MIN_UNANSWERED && unanswered.length > overdue.length / 4
        ? [`${unanswered.length} of ${overdue.length} requests have no answer ${GRACE_MS} ms after the route's timeout`]
        : [];
});
