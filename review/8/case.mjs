// Callers that send safe requests behind an unsafe one, and backend servers whose answers at times have no length.
// See claim.txt.
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

const HOST = "gateway.example";
const CALLERS = 12;
const PLAY_MS = 15_000;
const DEADLINE_MS = 3_000;
// The largest figures of the pages for this disruption: share 0.6 of the servers (`garble`), x 0.05 (`unframed`).
const UNFRAMED_SERVERS = 0.6;
const UNFRAMED_ANSWERS = 0.05;
// The rule is broken if it happens more often than this.
const ALLOWED = 3;

const record = openRecord(import.meta.url);
const store = new Store();
const backends = [];
const fleet = new Fleet({ store, record });

const answerUnframed = ({ response, id, backend }) => {
    const { socket } = response;
    const body = Buffer.alloc(1_500, `body of ${id} `);
    const headers = { ...backend.headers(id), "X-Server-Stamp": backend.stamp(), "Connection": "close" };
    delete headers["Keep-Alive"];
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.end(Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\n${lines}\r\n`), body]));
    record(`ran: ${backend.service} ${backend.id} answers ${id} without a length`);
};

// The caller reads an answer without a length until the end of the connection.
const runCaller = async (vm, index, untilMs, results) => {
    for (let round = 1; nowMs() < untilMs; round += 1) {
        const caller = new CallerConnection(vm, { record, name: `caller ${index}.${round}` });
        await caller.connected();
        while (nowMs() < untilMs && caller.closedAtMs === undefined) {
            const unsafe = caller.send({
                method: "POST",
                path: "/issue/tag",
                host: HOST,
                deadlineMs: DEADLINE_MS,
                body: Buffer.alloc(300, "b"),
            });
            const safe = caller.send({ path: "/check/tag", host: HOST, deadlineMs: DEADLINE_MS });
            results.push({ caller, unsafe, safe });
            await Promise.race([Promise.all([unsafe.done, safe.done]), sleep(DEADLINE_MS)]);
            if (!safe.isAnswered) {
                break;
            }
            await sleep(100);
        }
        caller.close();
        await sleep(50);
    }
};

const main = async () => {
    await store.start();
    const figures = { targetLatency: "400ms", timeout: "2500ms" };
    putConfiguration(store, {
        host: HOST,
        routes: [
            route({ ...figures, service: "vydaj-znacky", routeType: "unsafe", prefix: "/issue/", priority: 1 }),
            route({ ...figures, service: "stav-znacky", routeType: "safe", prefix: "/check/" }),
        ],
    });
    for (let index = 0; index < 16; index += 1) {
        const isUnsafe = index < 8;
        const isSpoiled = isUnsafe && index < 8 * UNFRAMED_SERVERS;
        const backend = new Backend({
            store,
            record,
            service: isUnsafe ? "vydaj-znacky" : "stav-znacky",
            zone: "hlinky",
            workMs: () => isUnsafe ? 160 : 60,
            onWork: work => {
                if (HAS_TROUBLE && isSpoiled && Math.random() < UNFRAMED_ANSWERS) {
                    answerUnframed(work);
                }
                else {
                    work.backend.answer(work, 1_500);
                }
            },
        });
        await backend.start();
        backends.push(backend);
    }
    await fleet.start(["hlinky", "hlinky", "vlcince"]);
    await sleep(4_000);
    const [vm] = fleet.vms;
    const results = [];
    const untilMs = nowMs() + PLAY_MS;
    await Promise.all([...Array(CALLERS).keys()].map(index => runCaller(vm, index + 1, untilMs, results)));
    const runs = backends.flatMap(backend => backend.runs);
    let lost = 0;
    for (const { caller, safe } of results) {
        const run = runs.find(({ id }) => id === safe.id);
        const closedBeforeDeadline = caller.closedAtMs - safe.sentAtMs < DEADLINE_MS - 500;
        // The backend of the safe request was sound: it ran the request and answered it.
        if (!safe.isAnswered && run?.endedAtMs !== undefined && closedBeforeDeadline) {
            lost += 1;
            record(
                `LOST: ${caller.name} ${safe.id} was passed on to a sound backend, which ended it `
                    + `${
                        Math.round(run.endedAtMs - safe.sentAtMs)
                    } ms after it was sent; its connection was closed without `
                    + `an answer to it after ${Math.round(caller.closedAtMs - safe.sentAtMs)} ms`,
            );
        }
    }
    record(`result: ${results.length} pairs, ${lost} safe requests passed on and not answered, ${ALLOWED} allowed`);
    return lost > ALLOWED ? 1 : 0;
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
