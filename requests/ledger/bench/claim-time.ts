// Measures the duration of a claim for several numbers of stored keys. Run it with: npx tsx requests/ledger/bench/claim-time.ts
import { LedgerDriver } from "../test/ledger-driver.js";

const ROUNDS = 3;
const CLAIMS_PER_ROUND = 1_000;
const KEY_COUNTS = [1_000, 10_000, 42_000, 100_000];

const driver = new LedgerDriver({ keyCountLimit: 200_000 });
driver.terms(LedgerDriver.term());
let suffix = 0;

const timeClaims = (): number => {
    const startMs = performance.now();
    for (const endSuffix = suffix + CLAIMS_PER_ROUND; suffix < endSuffix; suffix += 1) {
        driver.claim({ key: LedgerDriver.key(suffix % 10_000, suffix) });
    }
    return performance.now() - startMs;
};

console.log("| stored keys | us per claim, best of 3 rounds of 1,000 |");
console.log("| --- | --- |");
for (const keyCount of KEY_COUNTS) {
    while (suffix < keyCount) {
        timeClaims();
    }
    const bestMs = Math.min(...Array.from({ length: ROUNDS }, timeClaims));
    console.log(`| ${keyCount} | ${((bestMs * 1_000) / CLAIMS_PER_ROUND).toFixed(2)} |`);
}
