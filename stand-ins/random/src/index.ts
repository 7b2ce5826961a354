export { RandomSource } from "./random-source.js";
