// Bundles the entry daemon into one file, so that a restarted process reads little before it serves.
import { build } from "esbuild";

await build({
    entryPoints: ["daemon/entry/lib/main.js"],
    outfile: "target/marigoldstall-entry.cjs",
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    // Less text to read and compile at a start; names stay for stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: "none",
    logLevel: "warning",
});
