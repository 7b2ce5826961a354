import { expect } from "chai";
import { PauseDetector } from "../src/pause-detector.js";

const createDetector = () => {
    const time = { atMs: 5_000, wallMs: 1_000_000 };
    const detector = new PauseDetector({
        clock: { atMs: () => time.atMs, wallMs: () => time.wallMs, random: () => 0 },
    });
    const pass = (countedMs: number, wallMs: number): void => {
        time.atMs += countedMs;
        time.wallMs += wallMs;
    };
    return { detector, pass };
};

// After a pause, datagrams that waited in the socket claim to be fresh, and a suspended VM believes that no time passed.
describe("PauseDetector", () => {
    it("reports nothing while events come as usual", () => {
        const { detector, pass } = createDetector();
        for (let step = 0; step < 20; step += 1) {
            pass(50, 50);
            expect(detector.observe()).to.equal(undefined);
        }
    });

    it("reports a pause of the process, all of which the clock has counted", () => {
        const { detector, pass } = createDetector();
        pass(4_000, 4_000);
        expect(detector.observe()).to.deep.equal({ gapMs: 4_000, uncountedMs: 0 });
        pass(50, 50);
        expect(detector.observe()).to.equal(undefined);
    });

    it("reports the time for which the VM was suspended and the clock stood still", () => {
        const { detector, pass } = createDetector();
        pass(30, 4_030);
        expect(detector.observe()).to.deep.equal({ gapMs: 4_030, uncountedMs: 4_000 });
    });

    it("does not take a backward step of the time of day for a pause", () => {
        const { detector, pass } = createDetector();
        pass(50, -4_000);
        expect(detector.observe()).to.equal(undefined);
    });
});
