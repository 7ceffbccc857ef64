/**
 * The messages of the protocols with users, workers, the cloud and the state store, and their
 * mapping to the model. The protocols use terms of their own. In the main sources, only this
 * package and the fake services that {@code cli} starts for class-data training use these terms.
 *
 * <table>
 *   <caption>Terms of the protocols and of the code</caption>
 *   <tr><th>protocol</th><th>code</th></tr>
 *   <tr><td>{@code foreman}, the controller in charge</td><td>leader</td></tr>
 *   <tr><td>{@code baton}, token</td><td>fencing token, {@link io.cherryspool.model.FencingToken}
 *       </td></tr>
 *   <tr><td>report</td><td>heartbeat, {@link io.cherryspool.model.WorkerHeartbeat}</td></tr>
 *   <tr><td>{@code shift}, session</td><td>agent epoch</td></tr>
 *   <tr><td>{@code tick}</td><td>sequence number</td></tr>
 *   <tr><td>{@code warning_s}, notice</td><td>preemption notice</td></tr>
 *   <tr><td>{@code orders}; {@code launch}, {@code halt}, {@code forget}</td><td>commands,
 *       {@link io.cherryspool.model.WorkerCommand}; START, STOP, ACKNOWLEDGE</td></tr>
 *   <tr><td>{@code leeway_s}</td><td>grace period</td></tr>
 *   <tr><td>{@code piece}, {@code try}</td><td>task, attempt</td></tr>
 *   <tr><td>{@code pulling}, {@code saving}, {@code ended}</td><td>FETCHING, CHECKPOINTING,
 *       EXITED</td></tr>
 *   <tr><td>{@code no_room}, {@code busy}, {@code no_such}</td><td>INSUFFICIENT_RESOURCES,
 *       OTHER_ATTEMPT_PRESENT, UNKNOWN_JOB</td></tr>
 *   <tr><td>{@code spindle}, a rented machine</td><td>machine,
 *       {@link io.cherryspool.model.Instance} in the cloud's list</td></tr>
 *   <tr><td>{@code build}, {@code yard}</td><td>machine type, zone</td></tr>
 *   <tr><td>{@code loaners}, cheap</td><td>spot instances</td></tr>
 *   <tr><td>{@code hire}</td><td>name of an instance request</td></tr>
 *   <tr><td>{@code lane}, {@code owner}, {@code urgency}</td><td>job class, team, priority</td></tr>
 *   <tr><td>{@code urgent}, {@code best_effort}</td><td>HIGH, LOW</td></tr>
 *   <tr><td>{@code bundle}</td><td>image</td></tr>
 *   <tr><td>{@code together}, {@code scatter}</td><td>single zone required, zone spread required
 *       </td></tr>
 *   <tr><td>{@code bookmark_s}, {@code stash_s}</td><td>checkpoint interval, checkpoint duration
 *       </td></tr>
 *   <tr><td>{@code withdraw}, {@code withdrawn}</td><td>cancel, cancelled</td></tr>
 *   <tr><td>guarantee, limit</td><td>guaranteed quota, quota</td></tr>
 *   <tr><td>aim</td><td>service-level objective</td></tr>
 *   <tr><td>state service</td><td>state store</td></tr>
 *   <tr><td>{@code stamp}, {@code epoch}</td><td>version of a key, revision of the store</td></tr>
 *   <tr><td>{@code tenancy}</td><td>lease</td></tr>
 *   <tr><td>{@code commit}, conditional transaction</td><td>compare-and-swap transaction
 *       </td></tr>
 *   <tr><td>{@code follow}</td><td>watch</td></tr>
 * </table>
 *
 * <p>{@code ProtocolFields} defines the names of all fields.
 *
 * <p>May depend on {@code model}, on Jackson, and on {@link io.cherryspool.http.Request}, the value
 * type of encoded requests.
 *
 * <p>Threading: the functions are stateless, and any thread may call them. They throw a {@link
 * io.cherryspool.wire.MalformedMessageException} that names the field if a message violates its
 * protocol.
 */
package io.cherryspool.wire;
