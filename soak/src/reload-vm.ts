import type { RandomSource } from "@marigoldstall-private/random";
import { setTimeout as sleep } from "node:timers/promises";
import type { SoakSite } from "./soak-site.js";

const CUT_OFF_MS = 50;

/** Rewrites the settings of a VM and sends SIGHUP to its process. A cut-off file is completed later. */
export const reloadVm = async (site: SoakSite, vmId: string, opts: {
    readonly random: RandomSource;
    readonly isCut: boolean;
}): Promise<void> => {
    const { random, isCut } = opts;
    const isFirstStart = random.uniform() < 0.5;
    site.settingsFiles.write(vmId, { isFirstStart, share: isCut ? random.uniform() : 1 });
    site.process(vmId)?.kill("SIGHUP");
    if (isCut) {
        await sleep(CUT_OFF_MS);
        site.settingsFiles.write(vmId, { isFirstStart });
    }
};
