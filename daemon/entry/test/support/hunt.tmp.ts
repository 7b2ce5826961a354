import { runStop } from "./run-stop.js";
const [first = 1, count = 1, parallel = 3, share = 0] = process.argv.slice(2).map(Number);
let next = first;
const totals = new Map<string, number>();
let requests = 0, tries = 0, badSeeds: number[] = [];
const statuses = new Map<string, number>();
await Promise.all(Array.from({ length: parallel }, async () => {
    while (next < first + count) {
        const seed = next++;
        const { outcomes, lost, runs } = await runStop({ seed, unframedShare: share });
        tries += 1;
        requests += outcomes.length;
        for (const o of outcomes) {
            const k = `${o.habit} ${o.statusCode}`;
            statuses.set(k, (statuses.get(k) ?? 0) + 1);
        }
        for (const l of lost) {
            totals.set(
                l.habit + (l.isBehindAnother ? "+behind" : "") + (runs.has(l.requestId) ? "+ran" : ""),
                (totals.get(l.habit + (l.isBehindAnother ? "+behind" : "") + (runs.has(l.requestId) ? "+ran" : ""))
                    ?? 0) + 1,
            );
        }
        if (lost.length > 0) {
            badSeeds.push(seed);
            console.log(
                seed,
                lost.length,
                lost.slice(0, 3).map(l =>
                    `${l.requestId} work ${l.workMs} dur ${
                        Math.round(l.endedAtMs - l.sentAtMs)
                    } behind ${l.isBehindAnother}`
                ).join("; "),
            );
        }
    }
}));
console.log({
    tries,
    requests,
    badSeeds: badSeeds.length,
    lost: Object.fromEntries(totals),
    statuses: Object.fromEntries([...statuses].sort()),
});
process.exit(0);
