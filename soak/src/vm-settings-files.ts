import { writeFileSync } from "node:fs";
import { join } from "node:path";

interface VmSettingsFilesOptions {
    readonly directory: string;
    readonly build: (vmId: string, opts: { readonly isFirstStart: boolean; }) => unknown;
}

interface WriteOptions {
    readonly isFirstStart?: boolean;
    /** Share of the text, from its start, that is written. Default: all of it. */
    readonly share?: number;
}

/** The settings files of the VMs of a site, one for each VM. */
export class VmSettingsFiles {
    private readonly opts: VmSettingsFilesOptions;

    constructor(opts: VmSettingsFilesOptions) {
        this.opts = opts;
    }

    pathOf(vmId: string): string {
        return join(this.opts.directory, `${vmId}.json`);
    }

    /** Writes a VM's settings in place. */
    write(vmId: string, { isFirstStart = false, share = 1 }: WriteOptions = {}): void {
        const text = JSON.stringify(this.opts.build(vmId, { isFirstStart }));
        writeFileSync(this.pathOf(vmId), text.slice(0, Math.floor(text.length * share)));
    }
}
