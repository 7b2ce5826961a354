import { mkdirSync, writeFileSync } from "node:fs";
import { loadavg } from "node:os";
import { join } from "node:path";

const OUTPUT_DIRECTORY = "docs/measurements";

const formatRow = (cells: readonly string[]): string => `| ${cells.join(" | ")} |`;

/** Writes the results of a measurement as a Markdown page and returns its path. */
export const writeMeasurement = (
    name: string,
    opts: {
        readonly title: string;
        readonly conditions: readonly string[];
        readonly header: readonly string[];
        readonly rows: readonly (readonly string[])[];
        readonly notes: readonly string[];
    },
): string => {
    const file = join(OUTPUT_DIRECTORY, `${name}.md`);
    const lines = [
        `# ${opts.title}`,
        "",
        `Written by \`npm run bench -- ${name}\`.`,
        "",
        ...opts.conditions.map(condition => `- ${condition}`),
        `- load average at the end: ${
            loadavg().map(load => load.toFixed(1)).join(" ")
        }; above the number of cores, other `
        + "work delays every process here and latencies are not to be trusted",
        "",
        formatRow(opts.header),
        formatRow(opts.header.map(() => "---")),
        ...opts.rows.map(formatRow),
        "",
        ...opts.notes.map(note => `- ${note}`),
        "",
    ];
    mkdirSync(OUTPUT_DIRECTORY, { recursive: true });
    writeFileSync(file, lines.join("\n"));
    return file;
};
