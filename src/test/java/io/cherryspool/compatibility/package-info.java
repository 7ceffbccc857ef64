/**
 * Records and messages as earlier versions wrote them. The tests of the codecs check that the
 * formats have not changed.
 */
package io.cherryspool.compatibility;
