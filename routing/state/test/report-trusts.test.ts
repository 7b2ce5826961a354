import { reportTrusts } from "@marigoldstall/routing.state";
import { expect } from "chai";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const SAMPLES = 1000;

/** Returns the trust after samples whose latency grows with the predicted load by `slope`. */
const trustAfter = (slope: number): number => {
    const generator = xoroshiro128plus(20261204);
    let trust: ReturnType<typeof reportTrusts.add> = reportTrusts.initial;
    for (let index = 0; index < SAMPLES; index += 1) {
        const load = uniformInt(generator, 0, 4);
        const serviceTime = -Math.log(uniformInt(generator, 1, 1_000_000) / 1_000_000);
        trust = reportTrusts.add(trust, { load, latency: serviceTime + slope * Math.max(0, load - 1) });
    }
    return reportTrusts.factor(trust);
};

describe("reportTrusts", () => {
    it("trusts reports until there are enough samples to evaluate them", () => {
        expect(reportTrusts.factor(reportTrusts.initial)).to.equal(1);
    });

    it("trusts reports that predict how long a request waits", () => {
        expect(trustAfter(0.5)).to.equal(1);
    });

    it("does not trust reports that predict nothing, so that no request waits because of a stale one", () => {
        expect(trustAfter(0)).to.be.below(0.5);
    });
});
