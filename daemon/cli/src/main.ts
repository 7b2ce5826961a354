#!/usr/bin/env node
import { daemonCommand } from "./daemon-command.js";

await daemonCommand.parseAsync();
