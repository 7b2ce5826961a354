// Bundles the entry daemon, so that a restarted process has little to read before it serves requests. The first file only
// handles signals and loads the second one, which holds the daemon.
import { build } from "esbuild";

const PROGRAM_FILE = "marigoldstall-entry-program.cjs";

const OPTIONS = {
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    // Less code to read and compile at startup. Identifiers are not minified, so that stack traces stay readable.
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: "none",
    logLevel: "warning",
};

const keepProgramApart = {
    name: "keep-program-apart",
    setup: ({ onResolve }) => {
        onResolve({ filter: /\/run-entry-program\.js$/ }, () => ({ path: `./${PROGRAM_FILE}`, external: true }));
    },
};

await build({
    ...OPTIONS,
    entryPoints: ["daemon/entry/lib/main.js"],
    outfile: "target/marigoldstall-entry.cjs",
    plugins: [keepProgramApart],
    // Loads the program with `require`, which is faster than the loader of ECMAScript modules.
    supported: { "dynamic-import": false },
});
await build({
    ...OPTIONS,
    entryPoints: ["daemon/entry/lib/run-entry-program.js"],
    outfile: `target/${PROGRAM_FILE}`,
});
