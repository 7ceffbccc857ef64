package io.cherryspool.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** What the filter passes on, discards and buffers. */
class AbandonedRequestFilterTest {
  private static final int SMALL = 100;
  private static final int LARGE = 5000;

  /** Set instead of closing the channel, which would run the pending check first. */
  private boolean isClosed;

  private final EmbeddedChannel channel =
      new EmbeddedChannel(new AbandonedRequestFilter()) {
        @Override
        public boolean isActive() {
          return !isClosed && super.isActive();
        }
      };

  private ByteBuf read(int bytes) {
    ByteBuf buffer = Unpooled.buffer(bytes).writeZero(bytes);
    channel.pipeline().fireChannelRead(buffer);
    return buffer;
  }

  @Test
  void passesOnInOrderOnceTheReadIsComplete() {
    ByteBuf first = read(SMALL);
    ByteBuf second = read(SMALL);
    assertNull(channel.readInbound(), "buffered until then");
    channel.pipeline().fireChannelReadComplete();
    channel.runPendingTasks();
    assertSame(first, channel.readInbound());
    assertSame(second, channel.readInbound());
    channel.finishAndReleaseAll();
  }

  @Test
  void releasesWhatAClosedConnectionHasSent() {
    ByteBuf buffer = read(SMALL);
    isClosed = true;
    channel.pipeline().fireChannelReadComplete();
    channel.runPendingTasks();
    assertNull(channel.readInbound());
    assertEquals(0, buffer.refCnt());
  }

  /** Fifty connections that each send a megabyte would exhaust the memory for buffers. */
  @Test
  void buffersNoMoreThanSmallRequests() {
    read(LARGE);
    assertNull(channel.readInbound());
    ByteBuf second = read(LARGE);
    channel.<ByteBuf>readInbound().release();
    assertSame(second, channel.readInbound(), "nothing is buffered any more");
    second.release();
    channel.finishAndReleaseAll();
  }
}
