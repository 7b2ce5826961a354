#!/usr/bin/env node
import { createEnvironment } from "./create-environment.js";
import { runTool } from "./run-tool.js";

process.exitCode = await runTool(process.argv.slice(2), createEnvironment());
