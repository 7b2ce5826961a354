import { parseHedgeShare } from "@marigoldstall/daemon.entry";
import { expect } from "chai";

describe("daemon.entry, value of --hedge-share", () => {
    it("is a number from 0 to 1", () => {
        for (const [text, share] of [["0", 0], ["0.02", 0.02], ["1", 1], ["5e-2", 0.05]] as const) {
            expect(parseHedgeShare(text)._unsafeUnwrap(), text).to.equal(share);
        }
    });

    // A value that is taken for another one would send more extra requests than the operator allows, or none.
    it("is refused if it is anything else", () => {
        for (const text of ["", " ", "-0.01", "1.01", "2%", "0,02", "NaN", "Infinity", "often"]) {
            const error = parseHedgeShare(text)._unsafeUnwrapErr();
            expect(error.code, text).to.contain("HEDGE_SHARE_INVALID");
            expect(error.message, text).to.contain(JSON.stringify(text));
        }
    });
});
