// Bundles the entry daemon into one file, so that a restarted process has little to read before it serves requests.
import { build } from "esbuild";

await build({
    entryPoints: ["daemon/entry/lib/main.js"],
    outfile: "target/marigoldstall-entry.cjs",
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    // Less code to read and compile at startup. Identifiers are not minified, so that stack traces stay readable.
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: "none",
    logLevel: "warning",
});
