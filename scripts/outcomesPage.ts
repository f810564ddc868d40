/**
 * Renders docs/OUTCOMES.md from the outcome table of the product's own interface and from the cases that
 * `forwardingOutcomes` runs on the platform code.
 */

import { outcomeTable } from "../src/requests/outcomeTable.js";
import { forwardingOutcomes } from "./forwardingOutcomes.js";

export async function outcomesPage(): Promise<string> {
    const lines = outcomeTable.map(row => {
        const cells = [
            row.stage,
            row.failure,
            row.mayHaveRun ? "maybe" : "no",
            row.idempotent,
            row.nonIdempotent ?? "-",
        ];
        return `| ${cells.join(" | ")} |`;
    });

    const rows = (await forwardingOutcomes()).map(row => {
        const cells = [row.stage, row.failure, row.mayHaveRun ? "maybe" : "no", row.othersHealthy, row.allFail];
        return `| ${cells.join(" | ")} |`;
    });

    return `# Outcomes

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
${lines.join("\n")}

## On the platform

Found out by playing each case through the forwarding (\`scripts/forwardingOutcomes.ts\`): an engine fails at the stage while
the others are well, and all of them fail alike. What is sent again draws on the fleet's retry budget.

- \`unreachable\`: nothing was delivered. \`notExecuted\`: the engine says that it did not run the request (also 421).
- \`interrupted\`: the answer was lost, broke off or was not the request's own. \`timeout\`: no answer in time.
- \`status 500\`, \`status 503\`: the engine answered so, without saying that it did not run the request; 408 and 429 go like 503.

A stream that breaks off after its first event, or whose events are out of order, goes on at another engine where its route
allows it, and at a further one if that engine's answer does not go on with it; else its connection ends without looking
complete.

| Stage | Failure | May have run | Others are well | All fail alike |
|---|---|---|---|---|
${rows.join("\n")}
`;
}
