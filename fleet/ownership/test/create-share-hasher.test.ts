import { createShareHasher, SHARE_COUNT } from "@marigoldstall/fleet.ownership";
import { expect } from "chai";

describe("createShareHasher", () => {
    it("maps a key to the same share on every daemon, regardless of letter case", async () => {
        const first = await createShareHasher();
        const second = await createShareHasher();
        expect(first("crewcall", "0190ABCD-0000-7000-8000-000000000001"))
            .to.equal(second("crewcall", "0190abcd-0000-7000-8000-000000000001"));
    });

    it("spreads keys over all shares", async () => {
        const shareOf = await createShareHasher();
        const counts = new Map<number, number>();
        for (let index = 0; index < 6400; index += 1) {
            const share = shareOf("crewcall", `0190abcd-0000-7000-8000-${String(index).padStart(12, "0")}`);
            counts.set(share, (counts.get(share) ?? 0) + 1);
        }
        expect(counts.size).to.equal(SHARE_COUNT);
        expect(Math.max(...counts.values())).to.be.below(200);
    });
});
