export { hashText } from "./hash-text.js";
