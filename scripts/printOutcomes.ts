/**
 * Prints docs/OUTCOMES.md from the outcome table: `npm run outcomes > docs/OUTCOMES.md`.
 */

import { outcomeTable } from "../src/requests/outcomeTable.js";

const lines = outcomeTable.map(row => {
    const cells = [row.stage, row.failure, row.mayHaveRun ? "maybe" : "no", row.idempotent, row.nonIdempotent ?? "-"];
    return `| ${cells.join(" | ")} |`;
});

console.log(`# Outcomes

Printed from \`src/requests/outcomeTable.ts\` by \`npm run outcomes\`; the code follows the same table.

- \`retry\`: a new attempt on other endpoints, within the retry budget and at most five attempts (three for plain calls).
- \`retransfer\`: the same prefill's result goes to another decode engine while it lives; else a new attempt.
- \`resume\`: a new attempt continues after the tokens that the caller already has.
- \`refuse\`: an error at once, with \`notRun: true\`. If an earlier stage may have run something, the answer is owed:
  the request waits for endpoints (150 ms, doubling) and tries again, up to five attempts in all.
- \`unknown\`: an error with \`notRun: false\`; nothing is repeated.

Generations always may be repeated; "non-idempotent" concerns calls to plain services.

| Stage | Failure | May have run | Idempotent | Non-idempotent |
|---|---|---|---|---|
${lines.join("\n")}`);
